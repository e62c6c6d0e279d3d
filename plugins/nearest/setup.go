package nearest

import "github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"

func init() { plugin.Routings.Register(Name, New) }
