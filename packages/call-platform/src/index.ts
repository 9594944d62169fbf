/** Client of the platform object API. */
export {};
