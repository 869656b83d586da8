/** Version that --version prints; equal to package.json. */
export const VERSION = '0.1.0';
