package greatest

import "github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"

func init() { plugin.Combiners.Register(Name, New) }
