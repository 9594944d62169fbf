/** Classes of platform calls in the rate limit of the client; a lower number goes first, so journal writes precede all others. */
export const PLATFORM_CALL_CLASSES = { journal: 0, lease: 1, config: 2, status: 3, cleanup: 4 } as const;
