/** Client of a store host. */
export {};
