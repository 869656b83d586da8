/** Version that `--version` prints; must match package.json. */
export const VERSION = '0.1.0';
