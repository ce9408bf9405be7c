package main

import "C" // Forces linking against the C library, which the users' platform requires of programs.
