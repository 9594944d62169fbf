/** Points of the store protocol at which a fault can be set. `read-*` are the parts of reading one body. */
export const STORE_POINTS = [
  'pin',
  'read-start',
  'read-middle',
  'read-end',
  'meta',
  'unpin',
  'put',
  'commit',
  'move',
  'delete',
  'list',
  'stat',
] as const;
