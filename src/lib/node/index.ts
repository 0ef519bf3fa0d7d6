export * from "./configurationSync.js";
export * from "./eventRecorder.js";
export * from "./membershipTask.js";
export * from "./nodeParts.js";
export * from "./nodeService.js";
export * from "./profileStore.js";
export * from "./repeat.js";
