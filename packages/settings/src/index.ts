export { idSchema, parseEntity } from './entitySchemas.js';
export { formatFaults } from './formatFaults.js';
export type { SettingsFault, SettingsResult } from './parseSettings.js';
export { parseSettings } from './parseSettings.js';
export { readSettings } from './readSettings.js';
export type {
  Deployment,
  EngineFaults,
  EngineModelSettings,
  InstanceSettings,
  LoadSettings,
  LoadStream,
  Settings,
  SettingsKind,
  SettingsOf,
} from './settingsSchemas.js';
export { engineModelSchema, settingsSchema } from './settingsSchemas.js';
