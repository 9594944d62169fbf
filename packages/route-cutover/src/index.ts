/** Chooses between this system and the older one by a stable hash. */
export {};
