package main

// addRequests adds the parts, executors and actors of this area.
func (d *daemon) addRequests() {}
