//! Invalid settings are reported as error values.

mod helper;
use doorcourse::*;
use helper::*;

fn error(change: impl FnOnce(&mut Settings)) -> Option<SettingsError> {
    let mut set = settings();
    change(&mut set);
    Gateway::new(set, 1).err()
}

#[test]
fn invalid_settings_are_rejected() {
    assert_eq!(error(|_| ()), None);
    assert_eq!(error(|s| s.classes.clear()), Some(SettingsError::NoClasses));
    assert_eq!(error(|s| s.gateway_index = 2), Some(SettingsError::IndexOutOfRange));
    assert_eq!(error(|s| s.tick = -1.0), Some(SettingsError::InvalidValue("tick")));
    assert_eq!(error(|s| s.plans[0].rate = f64::NAN), Some(SettingsError::InvalidValue("a plan's rate")));
    assert_eq!(error(|s| s.plans[0].burst = 0.0), Some(SettingsError::InvalidValue("a plan's burst")));
    assert_eq!(
        error(|s| s.classes[0].target_latency = f64::INFINITY),
        Some(SettingsError::InvalidValue("a class's target latency"))
    );
}
