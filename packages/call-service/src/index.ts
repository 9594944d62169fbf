/** Client of a plain service. */
export {};
