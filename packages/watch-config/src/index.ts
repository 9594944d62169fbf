/** Brings the newest configuration into force on a node. */
export {};
