export { formatFaults } from './formatFaults.ts';
export { loadRouterSettings } from './loadRouterSettings.ts';
export { parseConfigurationSections } from './parseConfigurationSections.ts';
export type { LogThreshold, RouterSettings, SettingsFault } from './types.ts';
