/** Priority classes of a service; a lower number is served first. */
export const PRIORITIES = { urgent: 0, normal: 1, bulk: 2 } as const;
