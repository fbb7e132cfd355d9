//! Guards against a change of the stub replicas' records: scenarios compute them again and compare responses byte by byte.

use linenthread_demo::records;

#[test]
fn records_are_a_running_hash_of_service_path_and_number() {
    let hashes: [u64; 8] = [
        0x6a3a_4ef6_4ef7_48e5,
        0x1bf5_bb8e_3d69_43f2,
        0x6f74_769f_4fbc_dabc,
        0xaf58_f4b1_de94_7c4d,
        0x3f8f_83b6_c377_17d1,
        0xcf07_9c5d_045e_4c22,
        0x76fa_fe66_b83d_1660,
        0x45a5_63b5_9b9c_4d25,
    ];
    let expected: Vec<u8> = hashes
        .iter()
        .flat_map(|hash| [hash.to_be_bytes(), hash.to_le_bytes()].concat())
        .collect();
    assert_eq!(records("books", "/a/7"), expected);
}
