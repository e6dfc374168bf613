// Command cowslipd is the entry daemon of cowslipproxy.
package main

func main() {}
