/** Client of the older serving system. */
export {};
