package budgeted

import "github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"

func init() { plugin.Repetitions.Register(Name, New) }
