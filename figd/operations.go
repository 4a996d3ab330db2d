package main

// addOperations adds the log, metrics and the operators' listener.
func (d *daemon) addOperations() {}

// addStatus adds the part that ends each status report; it goes last.
func (d *daemon) addStatus() {}
