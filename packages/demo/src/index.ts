/** The demo: fakes and daemons as processes, and a table of what was seen. */
export {};
