/**
 * Faults at one point of the protocol. `free` and `rewrite` change the piece and go on; `truncate` and `corrupt` change what is
 * sent; `wrong-version` names another weight version; `cut` destroys the connection, `die` the whole store.
 */
export const POINT_FAULTS = [
  'cut',
  'die',
  'silent',
  'error',
  'free',
  'rewrite',
  'truncate',
  'corrupt',
  'wrong-version',
] as const;
