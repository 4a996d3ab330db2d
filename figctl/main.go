// Command figctl is the operator's command line.
package main

func main() {}
