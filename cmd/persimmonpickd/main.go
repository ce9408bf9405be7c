// Command persimmonpickd runs an entry host.
package main

func main() {
}
