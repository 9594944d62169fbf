/** Functions that render a response, by URL path. */
export type StatusPages = Readonly<Record<string, () => { readonly status: number; readonly text: string }>>;
