/** How a state of an object was found in a restored store, beside the one known from before the restore. */
export const RESTORED_STATES = {
  /** In a list, so it may be that of the copy. */
  listed: 'listed',
  /** By a change after the restore. */
  changed: 'changed',
  /** In a list, although the known object was removed before the restore. */
  removed: 'removed',
} as const;
