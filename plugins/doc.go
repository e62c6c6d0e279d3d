// Package plugins links every policy plug-in of this module into a program. Import it for its
// side effect: each plug-in registers itself under the name beside its import.
package plugins

import (
	_ "github.com/fuchsiaroad/fuchsiaroad/plugins/adaptivelimit" // limit "adaptive"
	_ "github.com/fuchsiaroad/fuchsiaroad/plugins/adaptiveorder" // order "adaptive"
	_ "github.com/fuchsiaroad/fuchsiaroad/plugins/blindretry"    // repetition "blind-retry"
	_ "github.com/fuchsiaroad/fuchsiaroad/plugins/budgeted"      // repetition "budgeted"
	_ "github.com/fuchsiaroad/fuchsiaroad/plugins/direct"        // placement "direct"
	_ "github.com/fuchsiaroad/fuchsiaroad/plugins/fifo"          // order "fifo"
	_ "github.com/fuchsiaroad/fuchsiaroad/plugins/fixedlimit"    // limit "fixed"
	_ "github.com/fuchsiaroad/fuchsiaroad/plugins/greatest"      // combiner "greatest-records"
	_ "github.com/fuchsiaroad/fuchsiaroad/plugins/nearest"       // routing "nearest"
	_ "github.com/fuchsiaroad/fuchsiaroad/plugins/nohedge"       // repetition "none"
	_ "github.com/fuchsiaroad/fuchsiaroad/plugins/objective"     // repetition "objective"
	_ "github.com/fuchsiaroad/fuchsiaroad/plugins/roundrobin"    // routing "round-robin"
	_ "github.com/fuchsiaroad/fuchsiaroad/plugins/twochoices"    // routing "two-choices"
)
