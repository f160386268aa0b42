// Package overload is admission control of programs while the engines of a service are full. Its
// Controller decides whether a turn that begins its program is placed now, waits, or is refused with a
// time to retry. Turns of begun programs are not its concern: they are served as before, and never
// refused in favour of a program that has not begun.
//
// The Controller keeps counts for each service and nothing for each request. It knows no network: the
// load comes from a Directory, and the waiting is done by the queue of package dispatch.
package overload
