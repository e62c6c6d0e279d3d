package direct

import "github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"

func init() { plugin.Placements.Register(Name, New) }
