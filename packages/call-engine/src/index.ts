/** Client of a model engine. */
export {};
