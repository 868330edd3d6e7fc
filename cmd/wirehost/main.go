// Command wirehost serves the decision module to the simulator by the protocol of package wire, on standard input and output.
package main

import (
	"os"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/remedy"
	"github.com/swifthall/swifthall/internal/wire"
	"github.com/swifthall/swifthall/policy"
)

func main() {
	host := wire.NewHost(os.Stderr, func(t gate.Terms, seed uint64) gate.Decider {
		return policy.New(t, seed)
	})
	if err := host.Serve(os.Stdin, os.Stdout); err != nil {
		remedy.Print(os.Stderr, err)
		os.Exit(remedy.ExitCode(err))
	}
}
