import * as z from 'zod';

/**
 * Schema of the file of agreed days: the days to run of each site, where `file` is the path of the site file below the sites
 * directory, and the baseline figures in `kept`.
 */
export const agreedDaysSchema = z.object({
  sites: z.array(z.object({ file: z.string(), site: z.string(), days: z.array(z.string()) })),
  kept: z.array(z.object({ site: z.string(), day: z.string(), worth: z.number(), commit: z.string() })),
});
