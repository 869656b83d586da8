import config from './ava.config.js';
import { files as alone } from './ava.alone.config.js';

/** Tests whose files may run beside each other. */
export default {
  ...config,
  files: [...config.files, ...alone.map(pattern => `!${pattern}`)],
};
