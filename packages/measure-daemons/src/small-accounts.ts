/** Accounts that the measurement adds to those of the example declarations. */
export const SMALL_ACCOUNTS: readonly string[] = Array.from(
  { length: 6 },
  (_, index) => `small-${String(index + 1)}`,
);
