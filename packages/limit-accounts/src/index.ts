/** Leased shares of account limits. */
export {};
