package fixedlimit

import "github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"

func init() { plugin.Limits.Register(Name, New) }
