package main

import "C" // The platform needs programs that are linked against the C library.
