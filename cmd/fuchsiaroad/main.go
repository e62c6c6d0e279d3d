// Command fuchsiaroad.
package main

func main() {}
