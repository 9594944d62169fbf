/** Collects declaration files, checks them and compiles a configuration. */
export {};
