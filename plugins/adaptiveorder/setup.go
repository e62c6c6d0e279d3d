package adaptiveorder

import "github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"

func init() { plugin.Orders.Register(Name, New) }
