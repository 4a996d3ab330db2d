// Command figbed runs the stand-ins, the load tool and the demo.
package main

func main() {}
