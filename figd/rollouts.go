package main

// addRollouts adds the parts, executors and actors of this area.
func (d *daemon) addRollouts() {}
