/** All fakes of a site at once, as the declarations name them. */
export { replaceAddresses } from './replace-addresses.js';
export type { Site } from './site.js';
export type { SiteOptions } from './site-options.js';
export { startSite } from './start-site.js';
