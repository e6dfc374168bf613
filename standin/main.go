// Command standin runs small stand-ins for the systems that cowslipproxy talks
// to, and the load tool.
package main

func main() {}
