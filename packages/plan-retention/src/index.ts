/** Decides which pieces are kept, where, and what is prefetched. */
export {};
