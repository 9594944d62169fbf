/** Call classes of the platform client's budget; journal writes go before everything else. */
export const PLATFORM_CLASSES = { journal: 0, lease: 1, config: 2, status: 3, cleanup: 4 } as const;
