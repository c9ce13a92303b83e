// Package hostile tests a host against clients that do not behave, from outside: the program runs as a process of its
// own with little memory and few descriptors. The tests need the build tag hostile, and run one at a time, as
// memory and descriptors of a busy machine would say nothing: make test-hostile.
package hostile
