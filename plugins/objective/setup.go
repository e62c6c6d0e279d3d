package objective

import "github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"

func init() { plugin.Repetitions.Register(Name, New) }
