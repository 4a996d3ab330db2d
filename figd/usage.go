package main

// addUsage adds the parts, executors and actors of this area.
func (d *daemon) addUsage() {}
