// Command fuchsiactl.
package main

func main() {}
