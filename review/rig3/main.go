// Command rig3 plays the cases of the third review: it starts figd with the commands of the deploy file beside stand-ins.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(*bed){"11": unstored, "12": late, "13": lines}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig3 CASE, with ROOT and RECORD set")
		os.Exit(2)
	}
	cases[os.Args[1]](newBed())
}
