// Package faultproxy is a TCP proxy on loopback that delays, cuts, freezes and loses what it forwards.
package faultproxy
