// Command benchlink lets the bench drive instances of the balancer over standard input and output. It writes nothing but replies
// to standard output.
package main

import (
	"bufio"
	"fmt"
	"os"

	"sandpass/internal/benchwire"
)

func main() {
	if err := benchwire.Serve(bufio.NewReaderSize(os.Stdin, 1<<20), os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
