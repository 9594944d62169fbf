/** What a server recently reported of its speed and its queue, in the form that hosts exchange. */
export type ServerCondition = readonly [
  server: string,
  /** Factor by which work takes longer than usual. */
  slowness: number,
  /** Most calls that its queue holds; 0 when unknown. */
  queueLimit: number,
  ageMs: number,
];
