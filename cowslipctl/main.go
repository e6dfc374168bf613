// Command cowslipctl is the operators' command line of cowslipproxy.
package main

func main() {}
