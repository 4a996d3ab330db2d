package main

// addAuthority adds the parts, executors and actors of this area.
func (d *daemon) addAuthority() {}
