/** The two systems that can serve a call during the cutover. */
export const SERVING_SYSTEMS = { own: 'own', older: 'older' } as const;
