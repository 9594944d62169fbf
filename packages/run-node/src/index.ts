/** Wires all parts to one node. */
export {};
