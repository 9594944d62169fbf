/** The two systems that may serve a call during the cutover. */
export const SYSTEMS = { own: 'own', older: 'older' } as const;
